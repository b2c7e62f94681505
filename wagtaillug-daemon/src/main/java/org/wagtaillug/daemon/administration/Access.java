package org.wagtaillug.daemon.administration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Optional;
import org.wagtaillug.settings.NodeSettings;

/** Who may ask for what, by the tokens in the settings. */
final class Access {
    private static final String SCHEME = "Bearer ";

    private final List<NodeSettings.AccessToken> accesses;

    Access(List<NodeSettings.AccessToken> accesses) {
        this.accesses = accesses;
    }

    /** The holder of a token, as the header {@code Authorization} brought it. */
    Optional<NodeSettings.AccessToken> holder(String header) {
        if (header == null || !header.startsWith(SCHEME)) {
            return Optional.empty();
        }
        byte[] given = bytes(header.substring(SCHEME.length()).strip());
        for (NodeSettings.AccessToken access : accesses) {
            if (MessageDigest.isEqual(given, bytes(access.token()))) {
                return Optional.of(access);
            }
        }
        return Optional.empty();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
