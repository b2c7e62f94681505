package org.wagtaillug.standin.http;

import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.io.EndPoint;

/** The faults that one stand-in shows at present. Safe for use from all threads. */
public final class FaultGate {
    private final Set<EndPoint> silenced = ConcurrentHashMap.newKeySet();
    private final Map<AnswerFault, Integer> left = new EnumMap<>(AnswerFault.class);
    private volatile boolean outage;
    private volatile double factor = 1;

    /** Returns how long work of {@code millis} takes under the present slowness. */
    public long scaled(long millis) {
        return Math.round(millis * factor);
    }

    /** Tells whether every call is to be answered 503. */
    boolean outage() {
        return outage;
    }

    /** Tells whether a connection is never answered again. */
    boolean isSilenced(EndPoint endPoint) {
        return silenced.contains(endPoint);
    }

    /** Makes the open connections silent for good and forgets those that have closed. */
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

    void slow(double newFactor) {
        factor = newFactor;
    }

    synchronized void spoil(Fault.Answers fault) {
        left.put(fault.kind(), fault.count());
    }

    synchronized void clear() {
        left.clear();
        outage = false;
        factor = 1;
    }

    /** Takes the fault for the next answer: lost before wrong before cut. */
    synchronized AnswerFault takeAnswerFault() {
        for (Map.Entry<AnswerFault, Integer> entry : left.entrySet()) {
            if (entry.getValue() == 0) {
                continue;
            }
            entry.setValue(entry.getValue() - 1);
            return entry.getKey();
        }
        return AnswerFault.NONE;
    }
}
