package org.wagtaillug.serving;

import java.time.Duration;
import java.time.Instant;
import org.wagtaillug.admission.FleetRateLimiter;
import org.wagtaillug.admission.LimitShare;
import org.wagtaillug.batch.CallGate;
import org.wagtaillug.directory.Listing;
import org.wagtaillug.notice.UpstreamNotice;

/**
 * Keeps the requests to stage servers within the rate limits and pauses that they announce. One node calls the servers
 * of a pool, so it may use a limit alone.
 */
final class NoticeCallGate implements CallGate {
    private final CallGate delegate;
    private final NoticeExchange notices;
    private final FleetRateLimiter limiter;

    /** Creates a gate for the servers that another gate allows. */
    NoticeCallGate(CallGate delegate, NoticeExchange notices) {
        this.delegate = delegate;
        this.notices = notices;
        this.limiter = new FleetRateLimiter(notices.rateLimits(), new LimitShare.OneNode());
    }

    @Override
    public boolean allows(Listing server) {
        return delegate.allows(server);
    }

    @Override
    public boolean preferred(Listing server) {
        return delegate.preferred(server);
    }

    @Override
    public boolean ready(Listing server, Instant now) {
        return pause(server, now).isZero() && limiter.allows(server.id(), now);
    }

    @Override
    public double rate(Listing server, Instant now) {
        return limiter.rate(server.id(), now);
    }

    @Override
    public Duration pause(Listing server, Instant now) {
        return notices.pauses().remaining(server.id(), now);
    }

    @Override
    public void onCall(Listing server) {
        delegate.onCall(server);
    }

    @Override
    public void onRequest(Listing server, Instant now) {
        limiter.onSent(server.id(), now);
    }

    @Override
    public void onAnswer(Listing server, UpstreamNotice notice, boolean successful, Instant sentAt, Instant now) {
        notices.onAnswer(server, notice, successful, sentAt, now);
    }

    @Override
    public void onRejected(Listing server, Instant now) {
        notices.onRejected(server, now);
    }

    @Override
    public void onCallEnded(Listing server, boolean failed, Duration took, Duration expected) {
        delegate.onCallEnded(server, failed, took, expected);
    }
}
