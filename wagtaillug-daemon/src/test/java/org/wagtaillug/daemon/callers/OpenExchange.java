package org.wagtaillug.daemon.callers;

import org.wagtaillug.daemon.Json;
import org.wagtaillug.dispatch.Request;
import org.wagtaillug.id.CustomerId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.TemplateId;

/** Opens exchanges without a caller, for tests in other packages. */
public final class OpenExchange {
    private OpenExchange() {}

    /** Adds an exchange that is never answered. */
    public static void add(Exchanges exchanges, RequestId id) {
        Request request =
                Request.builder(id, new CustomerId("c"), new TemplateId("t")).build();
        exchanges.add(new CallerExchange(request, Json.object(), null, null, null));
    }
}
