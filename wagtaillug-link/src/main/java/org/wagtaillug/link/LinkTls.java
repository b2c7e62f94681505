package org.wagtaillug.link;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import java.nio.file.Path;
import javax.net.ssl.SSLException;

/**
 * Mutual TLS between nodes. Both sides must show a certificate that {@code trusted} vouches for. Names in certificates
 * are not compared with addresses: VMs are replaced at any time and reached by IP number, so what counts is that the
 * firm's own authority has signed.
 *
 * @param key PEM file with the node's private key (PKCS#8, not encrypted)
 * @param certificates PEM file with the node's certificate and those between it and the authority
 * @param trusted PEM file with the certificates of the authorities whose nodes are let in
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
