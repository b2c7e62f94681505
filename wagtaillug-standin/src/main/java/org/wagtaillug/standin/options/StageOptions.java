package org.wagtaillug.standin.options;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;

/** The options of a server of a stage pool. */
@Parameters(commandDescription = "A server of a stage pool")
public class StageOptions extends UpstreamOptions {
    private static final int COLD_LIMIT = 2;

    private static final List<String> STAGES = List.of("encode", "retrieve", "rerank");

    @Parameter(names = "--stage", description = "Stage that it works on: encode, retrieve or rerank")
    private String stage = "encode";

    @Parameter(names = "--work-millis", description = "Mean time in milliseconds that one request takes")
    private long workMillis = 10;

    /** Creates the options with their defaults. */
    public StageOptions() {
        super(COLD_LIMIT);
    }

    /** Returns the stage that it works on: encode, retrieve or rerank; encode by default. */
    public String stage() {
        return stage;
    }

    /** Returns the mean time in milliseconds that one request takes; 10 by default. */
    public long workMillis() {
        return workMillis;
    }

    @Override
    public List<String> problems() {
        List<String> problems = super.problems();
        atLeast(problems, "work-millis", workMillis, 0);
        if (!STAGES.contains(stage)) {
            problems.add("stage: found '" + stage + "', " + Nearest.expected(stage, STAGES));
        }
        return problems;
    }
}
