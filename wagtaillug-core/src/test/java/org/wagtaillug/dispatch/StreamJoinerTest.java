package org.wagtaillug.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.wagtaillug.id.AttemptId;
import org.wagtaillug.id.RequestId;
import org.wagtaillug.id.StageId;

class StreamJoinerTest {
    @Property(tries = 300, seed = "20261203")
    void tokensOfBrokenResumedAndHedgedStreamsAreEmittedOnceAndInOrder(@ForAll long seed) {
        // Guards against missing or duplicated tokens when a stream breaks and is resumed on another engine while a
        // hedged attempt runs in parallel. Each attempt sends the same tokens from its own offset and may stop
        // anywhere.
        SplittableRandom random = new SplittableRandom(seed);
        int length = 1 + random.nextInt(40);
        List<String> emitted = new ArrayList<>();
        StreamJoiner joiner = new StreamJoiner((offset, text) -> emitted.add(offset + ":" + text));
        List<int[]> streams = new ArrayList<>();
        int attempts = 0;
        while (joiner.next() < length) {
            boolean begin = streams.isEmpty() || attempts < 6 && random.nextInt(5) == 0;
            if (begin) {
                streams.add(new int[] {joiner.next(), attempts});
                attempts++;
            }
            int[] stream = streams.get(random.nextInt(streams.size()));
            AttemptId id = new AttemptId(new RequestId("r"), new StageId("generate"), stream[1]);
            joiner.accept(id, stream[0], "t" + stream[0]);
            stream[0]++;
            boolean ends = stream[0] >= length || random.nextInt(20) == 0;
            if (ends) {
                streams.remove(stream);
            }
        }
        List<String> expected = new ArrayList<>();
        for (int offset = 0; offset < length; offset++) {
            expected.add(offset + ":t" + offset);
        }
        assertThat(emitted).isEqualTo(expected);
        assertThat(joiner.isComplete(length)).isTrue();
        assertThat(joiner.isComplete(length + 1)).isFalse();
    }
}
