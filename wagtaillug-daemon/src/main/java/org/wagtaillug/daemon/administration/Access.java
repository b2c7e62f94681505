package org.wagtaillug.daemon.administration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Optional;
import org.wagtaillug.settings.NodeSettings;

/** Authorizes requests by the tokens in the settings. */
final class Access {
    private static final String SCHEME = "Bearer ";

    private final List<NodeSettings.AccessToken> accesses;

    Access(List<NodeSettings.AccessToken> accesses) {
        this.accesses = accesses;
    }

    /** The access that belongs to the token in an {@code Authorization} header. */
    Optional<NodeSettings.AccessToken> holder(String header) {
        if (header == null || !header.startsWith(SCHEME)) {
            return Optional.empty();
        }
        byte[] token = bytes(header.substring(SCHEME.length()).strip());
        for (NodeSettings.AccessToken access : accesses) {
            if (MessageDigest.isEqual(token, bytes(access.token()))) {
                return Optional.of(access);
            }
        }
        return Optional.empty();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
