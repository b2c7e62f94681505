package org.wagtaillug.daemon;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.KeyStore;
import java.security.PrivateKey;
import java.security.cert.Certificate;
import java.security.cert.CertificateFactory;
import java.security.spec.InvalidKeySpecException;
import java.security.spec.PKCS8EncodedKeySpec;
import java.util.Base64;

/** Loads a certificate chain and an unencrypted PKCS#8 key, both in PEM format, into an in-memory key store. */
final class PemKeyStore {
    /** Password of the key store, which never leaves this process. */
    static final String PASSWORD = "in-memory";

    private PemKeyStore() {}

    static KeyStore load(Path certificate, Path key) throws GeneralSecurityException, IOException {
        KeyStore store = KeyStore.getInstance("PKCS12");
        store.load(null, null);
        store.setKeyEntry("node", privateKey(key), PASSWORD.toCharArray(), chain(certificate));
        return store;
    }

    private static Certificate[] chain(Path file) throws GeneralSecurityException, IOException {
        try (InputStream in = Files.newInputStream(file)) {
            return CertificateFactory.getInstance("X.509")
                    .generateCertificates(in)
                    .toArray(new Certificate[0]);
        }
    }

    private static PrivateKey privateKey(Path file) throws GeneralSecurityException, IOException {
        String text = Files.readString(file).replaceAll("-----[A-Z ]+-----", "").replaceAll("\\s", "");
        PKCS8EncodedKeySpec spec = new PKCS8EncodedKeySpec(Base64.getDecoder().decode(text));
        try {
            return KeyFactory.getInstance("RSA").generatePrivate(spec);
        } catch (InvalidKeySpecException notRsa) {
            return KeyFactory.getInstance("EC").generatePrivate(spec);
        }
    }
}
