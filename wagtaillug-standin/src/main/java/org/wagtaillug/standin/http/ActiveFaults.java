package org.wagtaillug.standin.http;

import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.io.EndPoint;

/** The faults currently injected into one stand-in. Thread-safe. */
public final class ActiveFaults {
    private final Set<EndPoint> silenced = ConcurrentHashMap.newKeySet();
    private final Map<AnswerFault, Integer> remaining = new EnumMap<>(AnswerFault.class);
    private volatile boolean outage;
    private volatile double factor = 1;

    /** Returns {@code millis} multiplied by the current slowdown factor. */
    public long scaled(long millis) {
        return Math.round(millis * factor);
    }

    /** Returns whether every call is answered 503. */
    boolean outage() {
        return outage;
    }

    /** Returns whether a connection is never answered again. */
    boolean isSilenced(EndPoint endPoint) {
        return silenced.contains(endPoint);
    }

    /** Silences the open connections permanently and forgets those that have closed. */
    void silence(Collection<EndPoint> open) {
        silenced.removeIf(endPoint -> !endPoint.isOpen());
        for (EndPoint endPoint : open) {
            endPoint.setIdleTimeout(0);
            silenced.add(endPoint);
        }
    }

    void startOutage() {
        outage = true;
    }

    void slow(double slowdown) {
        factor = slowdown;
    }

    synchronized void injectAnswerFault(Fault.Answers fault) {
        remaining.put(fault.kind(), fault.count());
    }

    synchronized void clear() {
        remaining.clear();
        outage = false;
        factor = 1;
    }

    /**
     * Returns the fault for the next answer and decrements its count; lost takes precedence over wrong, and wrong over cut.
     */
    synchronized AnswerFault nextAnswerFault() {
        for (Map.Entry<AnswerFault, Integer> entry : remaining.entrySet()) {
            if (entry.getValue() == 0) {
                continue;
            }
            entry.setValue(entry.getValue() - 1);
            return entry.getKey();
        }
        return AnswerFault.NONE;
    }
}
