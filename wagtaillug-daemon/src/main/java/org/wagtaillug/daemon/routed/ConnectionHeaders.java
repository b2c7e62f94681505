package org.wagtaillug.daemon.routed;

import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** Leaves out what concerns one connection only, as a request or an answer goes on over another one. */
final class ConnectionHeaders {
    private static final Set<String> OF_ONE_CONNECTION = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect");

    private ConnectionHeaders() {}

    /** The fields that go on; the length is the frame's to set. */
    static HttpFields without(HttpFields fields) {
        Set<String> named = new HashSet<>(OF_ONE_CONNECTION);
        for (String value : fields.getCSV(HttpHeader.CONNECTION, false)) {
            named.add(value.toLowerCase(Locale.ROOT));
        }
        HttpFields.Mutable kept = HttpFields.build();
        for (HttpField field : fields) {
            if (!named.contains(field.getLowerCaseName())) {
                kept.add(field);
            }
        }
        return kept;
    }
}
