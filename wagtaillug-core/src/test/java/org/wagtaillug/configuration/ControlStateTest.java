package org.wagtaillug.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.wagtaillug.contract.Body;
import org.wagtaillug.contract.CustomerContract;
import org.wagtaillug.contract.PlacementContract;
import org.wagtaillug.contract.PoolContract;
import org.wagtaillug.contract.Stage;
import org.wagtaillug.contract.Template;
import org.wagtaillug.id.CustomerId;
import org.wagtaillug.id.ModelId;
import org.wagtaillug.id.PoolId;
import org.wagtaillug.id.TemplateId;
import org.wagtaillug.id.VmId;
import org.wagtaillug.log.LogBatch;
import org.wagtaillug.log.LogRecord.Change;
import org.wagtaillug.log.LogRecord.StateEntry;

class ControlStateTest {
    @Provide
    Arbitrary<List<RandomRecords.Step>> steps() {
        return RandomRecords.lists(60);
    }

    @Property(tries = 400, seed = "20261202", edgeCases = EdgeCasesMode.NONE)
    void matchesTheNaiveImplementationAfterEachRecord(@ForAll("steps") List<RandomRecords.Step> steps) {
        List<LogBatch.Entry> entries = RandomRecords.logOf(steps).all();
        ControlState state = new ControlState();
        for (int count = 1; count <= entries.size(); count++) {
            LogBatch.Entry entry = entries.get(count - 1);
            state.apply(entry);
            List<LogBatch.Entry> read = entries.subList(0, count);
            assertThat(state.entries()).isEqualTo(NaiveControlState.entries(read));
            assertThat(state.members()).isEqualTo(NaiveControlState.members(read));
            if (entry.record() instanceof Change change) {
                boolean applied = NaiveControlState.versions(read, change.key()).getLast() == count;
                assertThat(state.wasApplied(count)).isEqualTo(applied);
            }
        }
    }

    @Property(tries = 200, seed = "20261203", edgeCases = EdgeCasesMode.NONE)
    void equalStatesHaveEqualDigestsHoweverTheyWereBuilt(@ForAll("steps") List<RandomRecords.Step> steps) {
        ControlState stateOf = stateOf(RandomRecords.logOf(steps));
        List<StateEntry> shuffled = new ArrayList<>(stateOf.entries());
        Collections.shuffle(shuffled, new Random(steps.size()));
        ControlState adopted = new ControlState();
        assertThat(adopted.adopt(stateOf.through(), shuffled, stateOf.members().reversed()))
                .isTrue();
        assertThat(adopted.digest()).isEqualTo(stateOf.digest());
        assertThat(adopted.entries()).isEqualTo(stateOf.entries());
        if (!shuffled.isEmpty()) {
            StateEntry last = shuffled.getLast();
            shuffled.set(shuffled.size() - 1, new StateEntry(last.key(), last.version(), new Body.Unknown("x", "y")));
            ControlState other = new ControlState();
            other.adopt(stateOf.through(), shuffled, stateOf.members());
            assertThat(other.digest()).isNotEqualTo(stateOf.digest());
        }
    }

    static ControlState stateOf(FakeLog log) {
        ControlState state = new ControlState();
        log.all().forEach(state::apply);
        return state;
    }

    @Test
    void reportsBothOffsetsWhenARecordIsMissing() {
        ControlState state = new ControlState();
        state.apply(change(1, 0, Samples.service(true)));
        assertThatThrownBy(() -> state.apply(change(3, 1, Samples.service(false))))
                .isInstanceOf(IllegalStateException.class)
                .hasMessageContaining("record 3 does not follow record 1");
        state.apply(change(1, 0, Samples.service(false)));
        assertThat(state.through()).isEqualTo(1);
    }

    @Test
    void rejectsAStateThatIsNotNewerOrIsMalformed() {
        ControlState state = new ControlState();
        state.apply(change(1, 0, Samples.service(true)));
        state.apply(change(2, 1, Samples.service(false)));
        StateEntry old = new StateEntry(Body.domainKey(Samples.DOMAIN), 1, Samples.service(true));
        assertThat(state.adopt(1, List.of(old), List.of())).isFalse();
        assertThat(state.adopt(2, List.of(old), List.of())).isFalse();
        assertThat(state.adopt(3, List.of(new StateEntry("pool/x", 4, old.body())), List.of()))
                .isFalse();
        assertThat(state.repair(state.digest() + 1, 3, List.of(old), List.of())).isFalse();
        assertThat(state.entry(old.key()).get().body()).isEqualTo(Samples.service(false));
    }

    @Test
    void aBodyThatAPeerCannotReadIsKept() {
        ControlState state = new ControlState();
        state.apply(change(1, 0, Samples.service(true)));
        StateEntry unread = new StateEntry(Body.domainKey(Samples.DOMAIN), 1, new Body.Unknown("domain", "{}"));
        assertThat(state.adopt(2, List.of(unread), List.of())).isTrue();
        assertThat(state.inService(Samples.upstream("engine-1", "pl-a"))).isFalse();
    }

    @Test
    void returnsTheConfigurationInForce() {
        Template template = Template.builder("menu-draft")
                .stage(Stage.builder("encode").build())
                .build();
        CustomerContract customer = new CustomerContract(
                new CustomerId("ramdin"),
                2,
                Map.of(
                        template.id(),
                        new CustomerContract.Parameters(
                                Optional.of(Duration.ofSeconds(2)), Optional.empty(), Optional.empty())));
        PoolContract pool = new PoolContract(new PoolId("rerank"), 1, 2, 3, true, false);
        PlacementContract placement = new PlacementContract(new ModelId("menu-7b"), 1, new PoolId("generate"), 2);
        List<Body> bodies =
                List.of(template, customer, pool, placement, new Body.VmService(new VmId("engine-1"), true));
        ControlState state = new ControlState();
        long offset = 0;
        for (Body body : bodies) {
            offset++;
            state.apply(change(offset, 0, body));
        }
        assertThat(state.template(template.id()).get().version()).isEqualTo(1);
        assertThat(state.template(new TemplateId("other"))).isEmpty();
        assertThat(state.templates()).containsExactly(template.id());
        assertThat(state.customer(customer.id())).contains(customer);
        assertThat(state.customers()).containsExactly(customer.id());
        assertThat(state.pool(pool.id())).isEqualTo(pool);
        assertThat(state.pool(new PoolId("x"))).isEqualTo(PoolContract.unspecified(new PoolId("x")));
        assertThat(state.placements()).containsExactly(placement);
        assertThat(state.inService(Samples.upstream("engine-1", "pl-a"))).isFalse();
        assertThat(state.inService(Samples.upstream("engine-2", "pl-a"))).isTrue();
        assertThat(state.digest()).as("the same in every process and version").isEqualTo(7611673885716582422L);
    }

    private static LogBatch.Entry change(long offset, long base, Body body) {
        return new LogBatch.Entry(offset, Instant.EPOCH, Samples.change("anita", "change-" + offset, base, body));
    }
}
