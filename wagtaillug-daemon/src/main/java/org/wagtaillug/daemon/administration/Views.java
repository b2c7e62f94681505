package org.wagtaillug.daemon.administration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wagtaillug.configuration.ControlState;
import org.wagtaillug.daemon.Json;
import org.wagtaillug.dispatch.FlowView;
import org.wagtaillug.grant.GrantView;
import org.wagtaillug.id.VmId;
import org.wagtaillug.log.LogRecord;
import org.wagtaillug.membership.PeerView;
import org.wagtaillug.membership.ViewStatus;
import org.wagtaillug.membership.Vm;
import org.wagtaillug.node.Node;
import org.wagtaillug.settings.Contracts;

/** The views of a node for operators, as JSON. Built on the control thread. */
final class Views {
    private Views() {}

    static ObjectNode configuration(Node node) {
        ControlState state = node.state();
        ObjectNode view = Json.object();
        view.put("through", state.through());
        view.put("digest", Long.toHexString(state.digest()));
        ArrayNode entries = view.putArray("entries");
        for (LogRecord.StateEntry entry : state.entries()) {
            entries.add(entry(entry));
        }
        return view;
    }

    static ObjectNode entry(LogRecord.StateEntry entry) {
        ObjectNode view = Json.object();
        view.put("key", entry.key());
        view.put("version", entry.version());
        view.set("body", Json.read(Contracts.toJson(entry.body())).get());
        return view;
    }

    static ObjectNode nodes(Node node, boolean ready, Instant now) {
        ObjectNode view = Json.object();
        ArrayNode nodes = view.putArray("nodes");
        ObjectNode self = self(node, now);
        self.put("ready", ready);
        nodes.add(self);
        for (PeerView peer : node.members().peers(now)) {
            nodes.add(peer(peer));
        }
        return view;
    }

    private static ObjectNode self(Node node, Instant now) {
        ViewStatus status = node.members().viewStatus(now);
        ObjectNode view = Json.object();
        view.put("node", node.members().self().toString());
        view.put("vm", node.members().self().vm().value());
        view.put("domain", node.members().domain().value());
        view.put("through", node.state().through());
        view.put("heard_millis", 0);
        view.put("fresh", status == ViewStatus.FRESH);
        view.put("standing", status.toString());
        return view;
    }

    private static ObjectNode peer(PeerView peer) {
        ObjectNode view = Json.object();
        view.put("node", peer.node().toString());
        view.put("vm", peer.node().vm().value());
        view.put("domain", peer.domain().value());
        view.put("through", peer.through());
        view.put("heard_millis", peer.silence().map(Duration::toMillis).orElse(-1L));
        view.put("fresh", peer.heard() && peer.logReachable());
        view.put("ready", peer.heard() && peer.ready());
        return view;
    }

    /**
     * Whether a version is in force at every member of the roster, and the members at which it is not, as far as this
     * node knows.
     */
    static ObjectNode change(Node node, boolean ready, long version, Instant now) {
        ObjectNode view = nodes(node, ready, now);
        ArrayNode waiting = Json.object().putArray("waiting_for");
        for (JsonNode member : view.path("nodes")) {
            if (member.path("through").asLong() < version
                    || !member.path("fresh").asBoolean()) {
                waiting.add(member.path("node").asText());
            }
        }
        view.put("version", version);
        view.put("won", node.state().wasApplied(version));
        view.put("in_force", waiting.isEmpty());
        view.set("waiting_for", waiting);
        return view;
    }

    static ObjectNode upstreams(Node node, Instant now) {
        Map<VmId, GrantView> grants = grants(node, now);
        ObjectNode view = Json.object();
        ArrayNode upstreams = view.putArray("upstreams");
        for (Vm vm : node.upstreams()) {
            upstreams.add(upstream(node, vm, Optional.ofNullable(grants.get(vm.id()))));
        }
        return view;
    }

    private static ObjectNode upstream(Node node, Vm vm, Optional<GrantView> grant) {
        ObjectNode view = Json.object();
        view.put("vm", vm.id().value());
        view.put("pool", vm.pool().orElseThrow().value());
        view.put("domain", vm.domain().value());
        view.put("leaving", vm.leaving());
        view.put("in_service", node.state().inService(vm));
        node.members().ownerOf(vm).ifPresent(owner -> view.put("owner", owner.toString()));
        grant.ifPresent(known -> {
            view.put("cold", known.cold());
            view.put("allowed", known.allowance());
            view.put("in_flight", known.inUse());
            view.put("limit", known.limit());
        });
        node.report(vm.id()).ifPresent(report -> {
            view.put("running", report.running());
            view.put("waiting", report.waiting());
            view.put("started_at", report.startedAt().toEpochMilli());
        });
        return view;
    }

    static ObjectNode ownership(Node node, Instant now) {
        Map<VmId, GrantView> grants = grants(node, now);
        ObjectNode view = Json.object();
        ArrayNode ownership = view.putArray("ownership");
        for (Vm vm : node.upstreams()) {
            ownership.add(ownershipOf(node, vm, Optional.ofNullable(grants.get(vm.id())), now));
        }
        return view;
    }

    private static ObjectNode ownershipOf(Node node, Vm vm, Optional<GrantView> grant, Instant now) {
        ObjectNode line = Json.object();
        line.put("vm", vm.id().value());
        node.members().ownerOf(vm).ifPresent(owner -> line.put("owner", owner.toString()));
        line.put("fencing_number", node.members().fencingNumber(vm));
        line.put("may_grant", node.members().mayGrant(vm, now));
        grant.filter(known -> known.limit() > 0).ifPresent(known -> {
            line.put("limit", known.limit());
            ObjectNode reserves = line.putObject("reserves");
            known.reserves().forEach((holder, reserve) -> reserves.put(holder.toString(), reserve));
        });
        return line;
    }

    private static Map<VmId, GrantView> grants(Node node, Instant now) {
        Map<VmId, GrantView> grants = new HashMap<>();
        for (GrantView grant : node.grants(now)) {
            grants.put(grant.upstream(), grant);
        }
        return grants;
    }

    static ObjectNode requests(Node node, Instant now) {
        ObjectNode view = Json.object();
        ArrayNode requests = view.putArray("requests");
        for (FlowView flow : node.requests(now)) {
            ObjectNode line = requests.addObject();
            line.put("request", flow.request());
            line.put("customer", flow.customer());
            line.put("template", flow.template());
            line.put("template_version", flow.templateVersion());
            line.put("stage", flow.stage());
            line.put("state", flow.state());
            line.put("attempts", flow.attempts());
            line.put("age_millis", flow.ageMillis());
            line.put("left_millis", flow.millisLeft());
        }
        return view;
    }

    static ObjectNode decisions(String request, List<ObjectNode> decisions) {
        ObjectNode view = Json.object();
        view.put("request", request);
        ArrayNode list = view.putArray("decisions");
        decisions.forEach(list::add);
        return view;
    }
}
