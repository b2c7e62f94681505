package org.wagtaillug.tool;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wagtaillug.tool.FakeAdministration.Fault;

class ToolTest {
    private static final String ENCODE = "kind: pool\nid: encode\nwarm_limit: 9\n";
    private static final String DEFAULT_ENCODE =
            "{\"kind\":\"pool\",\"id\":\"encode\",\"cold_limit\":2,\"warm_after\":4,\"warm_limit\":8,"
                    + "\"checks_fencing\":false,\"checks_keys\":false}";
    private static final String UPSTREAMS =
            "{\"upstreams\":[{\"vm\":\"ramdin-engine-1\",\"pool\":\"generate\",\"domain\":\"pl-a\",\"leaving\":false,"
                    + "\"in_service\":true,\"owner\":\"a#1\",\"cold\":true,\"allowed\":2,\"in_flight\":1}]}";
    private static final String NODES = "{\"nodes\":[{\"node\":\"a#1\",\"vm\":\"ramdin-node-1\",\"domain\":\"pl-b\","
            + "\"through\":12,\"heard_millis\":40,\"fresh\":true,\"ready\":true}]}";

    @TempDir
    Path directory;

    private FakeAdministration first;
    private FakeAdministration second;

    @BeforeEach
    void start() throws IOException {
        first = new FakeAdministration();
        second = new FakeAdministration();
    }

    @AfterEach
    void stop() {
        first.close();
        second.close();
    }

    private ToolRun tool(String line) {
        Map<String, String> environment = Map.of(
                "WAGTAILLUG_TOKEN", FakeAdministration.TOKEN, "WAGTAILLUG_NODE", first.url() + "," + second.url());
        return ToolRun.with(environment, line.split(" "));
    }

    private String file(String text) throws IOException {
        return Files.writeString(directory.resolve("contracts.yaml"), text).toString();
    }

    @Test
    void publishesAndWaitsUntilItIsInForceEverywhere() throws IOException {
        first.laggingPolls = 3;
        ToolRun run = tool("publish --wait " + file(ENCODE));
        assertThat(run)
                .isEqualTo(new ToolRun(0, "pool/encode: accepted as version 11\nin force on 3 of 3 nodes\n", ""));
        assertThat(first.posts).hasSize(1);
        assertThat(first.posts.getFirst().path("base").asLong()).isZero();
    }

    /**
     * An operator waits for a change while one node lags. The responding node already reports the change as in force, but
     * the offset of the lagging node shows that it is not. The tool must not report it as in force before that node has
     * read it.
     */
    @Test
    void aChangeIsNotInForceWhileANodeLags() throws IOException {
        first.laggingPolls = Integer.MAX_VALUE;
        ToolRun run = tool("publish --wait --timeout 2s " + file(ENCODE));
        assertThat(run.output()).isEqualTo("pool/encode: accepted as version 11\n");
        assertThat(run.errors()).isEqualTo("in force on 2 of 3 nodes after 2s; waiting for c#1\n");
        assertThat(run.exitCode()).isEqualTo(1);
    }

    /**
     * Two operators change the same pool. The tool reads version 11; before it sends its change, the other operator's change
     * is accepted as version 12. Accepting the tool's change would silently overwrite it (a lost update).
     */
    @Test
    void aConflictingChangeIsNotAcceptedAndReportsTheVersionInForce() throws IOException {
        first.put("pool/encode", DEFAULT_ENCODE);
        first.afterRead = () -> {
            first.afterRead = () -> {};
            first.put("pool/encode", DEFAULT_ENCODE.replace("\"warm_limit\":8", "\"warm_limit\":7"));
        };
        ToolRun run = tool("publish " + file(ENCODE + "---\nkind: pool\nid: rerank\n"));
        assertThat(run.errors())
                .isEqualTo("pool/encode: not accepted: version 12 is in force; this change is based on version 11."
                        + " Run diff and publish again\npool/rerank: not sent, because an earlier change failed\n");
        assertThat(run.output()).isEmpty();
        assertThat(run.exitCode()).isEqualTo(1);
        assertThat(first.posts).hasSize(1);
    }

    /**
     * The node accepts the change, but its response is lost. Without a resend, the operator would see an error and publish
     * again, or the tool would send the change to another node. The tool resends the change to the same node with the same
     * change id.
     */
    @Test
    void aChangeWhoseResponseIsLostIsResentWithTheSameChangeId() throws IOException {
        first.fault = Fault.ANSWER_LOST;
        ToolRun run = tool("publish " + file(ENCODE));
        assertThat(run).isEqualTo(new ToolRun(0, "pool/encode: accepted as version 11\n", ""));
        assertThat(first.posts).hasSize(2);
        assertThat(first.posts.get(1)).isEqualTo(first.posts.get(0));
        assertThat(second.posts).isEmpty();
    }

    /**
     * The log accepts the change but is slow to confirm it, so the node responds that the outcome is unknown. This is not a
     * refusal: the change is accepted a moment later, and the tool must report that, so the operator does not send another.
     */
    @Test
    void aChangeWithUnknownOutcomeIsResentUntilTheOutcomeIsKnown() throws IOException {
        first.fault = Fault.OUTCOME_UNKNOWN;
        assertThat(tool("publish " + file(ENCODE)))
                .isEqualTo(new ToolRun(0, "pool/encode: accepted as version 11\n", ""));
        assertThat(second.posts).isEmpty();
    }

    /**
     * The response is lost and the node restarts, so it no longer knows the change id and reports a conflict with the
     * change's own first attempt. The tool must report neither that the change was accepted nor that it was not.
     */
    @Test
    void aLostResponseWithAForgottenChangeIdIsAnUnknownOutcome() throws IOException {
        first.fault = Fault.ANSWER_LOST_AND_FORGOTTEN;
        ToolRun run = tool("publish " + file(ENCODE));
        assertThat(run.output()).isEmpty();
        assertThat(run.errors())
                .startsWith("pool/encode: outcome unknown")
                .endsWith("the key is now at version 11, which has the content that was sent\n");
        assertThat(run.exitCode()).isEqualTo(1);
        assertThat(second.posts).isEmpty();
    }

    @Test
    void aNodeThatIsDownOrShuttingDownIsSkipped() throws IOException {
        first.fault = Fault.SHUTTING_DOWN;
        assertThat(tool("publish " + file(ENCODE)).exitCode()).isZero();
        assertThat(second.posts).hasSize(1);
        first.close();
        assertThat(tool("remove pool/encode").output()).isEqualTo("pool/encode: accepted as version 12\n");
    }

    @Test
    void anUnchangedContractIsNotPublishedAgain() throws IOException {
        first.put("pool/encode", DEFAULT_ENCODE);
        ToolRun run = tool("publish " + file("{kind: pool, id: encode}"));
        assertThat(run).isEqualTo(new ToolRun(0, "pool/encode: unchanged, version 11\n", ""));
        assertThat(first.posts).isEmpty();
    }

    @Test
    void aBaseVersionIsAcceptedForASingleContractOnly() throws IOException {
        first.put("pool/encode", DEFAULT_ENCODE);
        assertThat(tool("publish --base 11 " + file(ENCODE)).exitCode()).isZero();
        assertThat(tool("publish --base 11 " + file(ENCODE)).exitCode()).isEqualTo(1);
        assertThat(tool("publish --base=11 " + file(ENCODE + "---\nkind: pool\nid: rerank\n"))
                        .exitCode())
                .isEqualTo(2);
    }

    @Test
    void anInvalidFileIsNotSent() throws IOException {
        ToolRun run = tool("publish " + file(ENCODE + "---\nkind: poll\nid: rerank\n"));
        assertThat(run.errors())
                .contains("contracts.yaml:5: kind: found \"poll\"")
                .contains("did you mean \"pool\"?");
        assertThat(run.exitCode()).isEqualTo(1);
        assertThat(first.posts).isEmpty();
    }

    @Test
    void warnsOfParametersForATemplateThatDoesNotExist() throws IOException {
        first.put("template/menu-draft", "{\"kind\":\"template\",\"id\":\"menu-draft\"}");
        ToolRun run = tool("publish " + file("{kind: customer, id: office, parameters: {menu-darft: {worth: 2}}}"));
        assertThat(run.errors())
                .isEqualTo("warning: customer/office: parameters.menu-darft: no such template;"
                        + " did you mean \"menu-draft\"?\n");
        assertThat(run.exitCode()).isZero();
    }

    @Test
    void aTokenWithTheReaderRoleIsRefused() throws IOException {
        ToolRun run = ToolRun.of("publish", "--token", "reader", "--node", first.url(), file(ENCODE));
        assertThat(run.errors()).contains("with code 107: the token's role is reader");
        assertThat(run.exitCode()).isEqualTo(1);
    }

    @Test
    void takesAFailureDomainOutAndBackButRejectsNamesThatNoNodeReports() {
        first.fixedResponses.put("/admin/upstreams", FakeAdministration.json(UPSTREAMS));
        first.fixedResponses.put("/admin/nodes", FakeAdministration.json(NODES));
        ToolRun mistyped = tool("domain out pl-aa");
        assertThat(mistyped.errors()).contains("expected one of pl-a, pl-b; did you mean \"pl-a\"?");
        assertThat(mistyped.exitCode()).isEqualTo(1);
        assertThat(first.posts).isEmpty();
        assertThat(tool("domain out pl-a --wait").output())
                .isEqualTo("domain/pl-a: accepted as version 11\nin force on 3 of 3 nodes\n");
        assertThat(tool("domain back pl-a").output()).isEqualTo("domain/pl-a: accepted as version 12\n");
        assertThat(first.entries.get("domain/pl-a").body().path("out").asBoolean())
                .isFalse();
        assertThat(tool("vm out ramdin-engine-9 --unlisted").output())
                .isEqualTo("vm/ramdin-engine-9: accepted as version 13\n");
    }

    @Test
    void showsAndComparesTheConfigurationInForce() throws IOException {
        first.put("pool/encode", DEFAULT_ENCODE);
        assertThat(tool("show").output()).isEqualTo("key          version\npool/encode  11\n");
        assertThat(tool("show pool/encode").output())
                .startsWith("# pool/encode, version 11\nkind: \"pool\"\nid: \"encode\"\ncold_limit: 2\n");
        assertThat(tool("show pool/encod").errors()).contains("did you mean \"pool/encode\"?");
        assertThat(tool("diff " + file(ENCODE)).output())
                .isEqualTo("pool/encode: changed since version 11\n  ~ warm_limit: 8 -> 9\n");
        assertThat(tool("diff " + file("{kind: pool, id: encode}")).output())
                .isEqualTo("no difference from the configuration in force\n");
    }

    @Test
    void showsNodesUpstreamsAndRequestsOfEveryNode() {
        first.fixedResponses.put("/admin/nodes", FakeAdministration.json(NODES));
        first.fixedResponses.put("/admin/upstreams", FakeAdministration.json(UPSTREAMS));
        first.fixedResponses.put("/admin/requests", FakeAdministration.json("{\"requests\":[{\"request\":\"r1\"}]}"));
        second.fixedResponses.put("/admin/requests", FakeAdministration.json("{\"requests\":[{\"request\":\"r2\"}]}"));
        second.fixedResponses.put(
                "/admin/requests/r%2F2",
                FakeAdministration.json("{\"request\":\"r/2\",\"decisions\":[{\"time\":\"2026-12-02T08:00:00Z\","
                        + "\"kind\":\"route\",\"fields\":{\"stage\":\"encode\",\"upstream\":\"encoder-1\"},"
                        + "\"alternatives\":[\"encoder-2: no grant\"]}]}"));
        assertThat(tool("nodes").output())
                .isEqualTo("node  domain  through  heard millis  fresh  ready\n"
                        + "a#1   pl-b    12       40            yes    yes\n");
        assertThat(tool("upstreams").output()).contains("ramdin-engine-1  generate  pl-a    no");
        assertThat(tool("requests").output()).contains("r1").contains("r2");
        assertThat(tool("why r/2").output())
                .isEqualTo("2026-12-02T08:00:00Z route stage=encode upstream=encoder-1\n"
                        + "    not encoder-2: no grant\n");
        assertThat(tool("why r3").exitCode()).isEqualTo(1);
    }

    @Test
    void reportsNodesThatDifferAtTheSameOffset() {
        assertThat(tool("config digest").exitCode()).isZero();
        second.digest = "d2";
        ToolRun run = tool("config digest");
        assertThat(run.errors()).isEqualTo("nodes at the same offset hold different configurations\n");
        assertThat(run.exitCode()).isEqualTo(1);
    }

    @Test
    void everyOutcomeHasAJsonForm() throws IOException {
        assertThat(FakeAdministration.json(
                        tool("publish --wait --output json " + file(ENCODE)).output()))
                .isEqualTo(FakeAdministration.json("""
                        {"changes":[{"key":"pool/encode","outcome":"accepted","version":11}],
                         "in_force":{"version":11,"in_force":true,"reached":3,"nodes":3,"waiting_for":[]}}"""));
        ToolRun refused = ToolRun.of("show", "--output", "json", "--token", "reader", "--node", first.url());
        assertThat(FakeAdministration.json(refused.output()).path("exit_code").asInt())
                .isEqualTo(1);
    }
}
