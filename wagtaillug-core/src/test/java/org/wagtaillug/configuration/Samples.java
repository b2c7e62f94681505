package org.wagtaillug.configuration;

import java.util.Optional;
import org.wagtaillug.contract.Body;
import org.wagtaillug.id.DomainId;
import org.wagtaillug.id.NodeId;
import org.wagtaillug.id.OperatorId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.RegionId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.log.LogRecord.Change;
import org.wagtaillug.log.LogRecord.NodeAddress;
import org.wagtaillug.membership.Vm;

/** Sample nodes, upstreams and changes for the tests of the control state. */
public final class Samples {
    public static final DomainId DOMAIN = new DomainId("pl-a");
    public static final NodeAddress ADDRESS = address("pl-a");

    private Samples() {}

    public static NodeAddress address(String domain) {
        return new NodeAddress("127.0.0.1", 7000, new DomainId(domain));
    }

    public static NodeId node(int number) {
        return new NodeId(new VmId("entry-" + number), 1);
    }

    public static Vm upstream(String vm, String domain) {
        Optional<PoolId> pool = Optional.of(new PoolId("generate"));
        return new Vm(new VmId(vm), pool, new DomainId(domain), new RegionId("port-louis"), "127.0.0.1", 9000, false);
    }

    /** The body that takes {@link #DOMAIN} out of service or returns it to service. */
    public static Body service(boolean out) {
        return new Body.DomainService(DOMAIN, out);
    }

    public static Change change(String operator, String changeId, long base, Body body) {
        return new Change(body.key(), base, body, new OperatorId(operator), changeId);
    }
}
