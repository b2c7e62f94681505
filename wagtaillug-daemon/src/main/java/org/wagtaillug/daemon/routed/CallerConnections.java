package org.wagtaillug.daemon.routed;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.ServerConnector;

/**
 * Tracks the connections of callers and closes them at shutdown: after the next answer or, without further requests,
 * once the load balancer has removed the node. Thread-safe.
 */
final class CallerConnections {
    /**
     * Callers reuse connections that were idle for up to four fifths of the idle timeout in their limits, but for at
     * most 15 s.
     */
    static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

    /** Idle time after which a connection is closed during shutdown; the header of a request may arrive in parts. */
    private static final Duration SHUTDOWN_IDLE_TIMEOUT = Duration.ofMillis(800);

    private final Map<Request, EndPoint> open = new HashMap<>();
    private volatile boolean closingAfterAnswers;
    private boolean closingIdle;

    /** Registers a request whose header has been read. */
    synchronized void onRequest(Request request) {
        EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
        open.put(request, endPoint);
        Request.addCompletionListener(request, failure -> onCompleted(request));
        if (closingAfterAnswers) {
            // A caller may be slow to read its answer or to send its body; only idle connections between requests get
            // the short timeout.
            endPoint.setIdleTimeout(IDLE_TIMEOUT.toMillis());
        }
    }

    private synchronized void onCompleted(Request request) {
        EndPoint endPoint = open.remove(request);
        if (closingIdle && endPoint != null) {
            // The header of its answer may have been sent before the connection was marked for closing.
            endPoint.setIdleTimeout(SHUTDOWN_IDLE_TIMEOUT.toMillis());
        }
        notifyAll();
    }

    /** Adds the connection header to an answer if its connection is to be closed. */
    void addCloseHeader(Response response) {
        if (closingAfterAnswers) {
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
        }
    }

    /** Closes each connection after its next answer, so that callers connect to other nodes. */
    void closeAfterAnswers() {
        closingAfterAnswers = true;
    }

    /**
     * Closes connections without an open request. A caller keeps such a connection long after the load balancer has
     * removed the node, and a request that it sends then may arrive too late to be answered. The connections are closed
     * by the idle timeout of the server, which never closes a connection once it has read the header of a request.
     */
    synchronized void closeIdle(ServerConnector connector) {
        closingIdle = true;
        for (EndPoint endPoint : connector.getConnectedEndPoints()) {
            if (!open.containsValue(endPoint)) {
                endPoint.setIdleTimeout(SHUTDOWN_IDLE_TIMEOUT.toMillis());
            }
        }
    }

    /**
     * Waits until the last byte of each answer is written.
     *
     * @param timeoutMillis the maximum wait
     * @return whether all answers are written
     */
    synchronized boolean awaitWritten(long timeoutMillis) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (!open.isEmpty()) {
            long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
            if (remainingMillis <= 0) {
                return false;
            }
            wait(remainingMillis);
        }
        return true;
    }
}
