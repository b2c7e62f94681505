package org.wagtaillug.standin.platform;

import java.util.List;
import java.util.Optional;
import org.wagtaillug.standin.options.NearestName;

/**
 * An entry of the VM list.
 *
 * @param vm the VM's name
 * @param kind {@code node} or {@code upstream}
 * @param pool the pool; absent for nodes
 * @param domain the failure domain
 * @param region the region
 * @param address the IP address
 * @param port the port
 * @param state {@code live} or {@code leaving}
 */
public record Vm(
        String vm, String kind, String pool, String domain, String region, String address, int port, String state) {
    private static final List<String> KINDS = List.of("node", "upstream");
    private static final List<String> STATES = List.of("live", "leaving");

    /** Returns an error message if the entry is invalid. */
    Optional<String> problem() {
        if (vm == null || domain == null || region == null || address == null) {
            return Optional.of("vm, domain, region, address: expected all four");
        }
        if (!KINDS.contains("" + kind)) {
            return Optional.of("kind: found '" + kind + "', " + NearestName.expected("" + kind, KINDS));
        }
        if (!STATES.contains("" + state)) {
            return Optional.of("state: found '" + state + "', " + NearestName.expected("" + state, STATES));
        }
        if (kind.equals("upstream") && pool == null) {
            return Optional.of("pool: missing, expected one for an upstream");
        }
        return Optional.empty();
    }
}
