package org.wagtaillug.daemon.routed;

import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** Removes hop-by-hop headers from a request or an answer that is forwarded over another connection. */
final class ConnectionHeaders {
    private static final Set<String> HOP_BY_HOP = Set.of(
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

    /** Returns the headers to forward, without a content length, which is set for the new connection. */
    static HttpFields forwardable(HttpFields fields) {
        Set<String> removed = new HashSet<>(HOP_BY_HOP);
        for (String value : fields.getCSV(HttpHeader.CONNECTION, false)) {
            removed.add(value.toLowerCase(Locale.ROOT));
        }
        HttpFields.Mutable forwarded = HttpFields.build();
        for (HttpField field : fields) {
            if (!removed.contains(field.getLowerCaseName())) {
                forwarded.add(field);
            }
        }
        return forwarded;
    }
}
