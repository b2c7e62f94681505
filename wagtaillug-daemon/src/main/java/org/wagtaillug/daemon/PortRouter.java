package org.wagtaillug.daemon;

import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Routes requests by port: those on the port for callers to one handler, all others to another. */
final class PortRouter extends Handler.Sequence {
    private final Connector callersPort;
    private final Handler callers;
    private final Handler administration;

    PortRouter(Connector callersPort, Handler callers, Handler administration) {
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
