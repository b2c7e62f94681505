package org.wagtaillug.link;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import java.nio.file.Path;
import javax.net.ssl.SSLException;

/**
 * Mutual TLS between nodes. Both sides must present a certificate that is signed by an authority in {@code trusted}.
 * Host names are not verified: VMs are replaced at any time and addressed by IP address, so a signature of the firm's
 * own certificate authority is what authenticates a node.
 *
 * @param key PEM file with the node's private key (PKCS#8, not encrypted)
 * @param certificates PEM file with the node's certificate chain, including intermediate certificates
 * @param trusted PEM file with the certificates of the trusted certificate authorities
 */
public record LinkTls(Path key, Path certificates, Path trusted) {
    SslContext server() throws SSLException {
        return SslContextBuilder.forServer(certificates.toFile(), key.toFile())
                .sslProvider(SslProvider.JDK)
                .trustManager(trusted.toFile())
                .clientAuth(ClientAuth.REQUIRE)
                .build();
    }

    SslContext client() throws SSLException {
        return SslContextBuilder.forClient()
                .sslProvider(SslProvider.JDK)
                .keyManager(certificates.toFile(), key.toFile())
                .trustManager(trusted.toFile())
                .endpointIdentificationAlgorithm(null)
                .build();
    }
}
