package org.wagtaillug.daemon;

import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Sends what comes in at the callers' port to one handler and everything else to another. */
final class ByPort extends Handler.Sequence {
    private final Connector callersPort;
    private final Handler callers;
    private final Handler administration;

    ByPort(Connector callersPort, Handler callers, Handler administration) {
        super(callers, administration);
        this.callersPort = callersPort;
        this.callers = callers;
        this.administration = administration;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        Connector port = request.getConnectionMetaData().getConnector();
        Handler handler = port == callersPort ? callers : administration;
        return handler.handle(request, response, callback);
    }
}
