package org.wagtaillug.standin.options;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;

/** Options of a stage pool server. */
@Parameters(commandDescription = "A server of a stage pool")
public class StageOptions extends UpstreamOptions {
    private static final int COLD_LIMIT = 2;

    private static final List<String> STAGES = List.of("encode", "retrieve", "rerank");

    @Parameter(names = "--stage", description = "Stage that it executes: encode, retrieve or rerank")
    private String stage = "encode";

    @Parameter(names = "--work-millis", description = "Mean processing time of a request in milliseconds")
    private long workMillis = 10;

    /** Creates options with default values. */
    public StageOptions() {
        super(COLD_LIMIT);
    }

    /** Returns the stage that it executes: encode, retrieve or rerank; encode by default. */
    public String stage() {
        return stage;
    }

    /** Returns the mean processing time of a request in milliseconds; 10 by default. */
    public long workMillis() {
        return workMillis;
    }

    @Override
    public List<String> problems() {
        List<String> problems = super.problems();
        checkMinimum(problems, "work-millis", workMillis, 0);
        if (!STAGES.contains(stage)) {
            problems.add("stage: found '" + stage + "', " + NearestName.expected(stage, STAGES));
        }
        return problems;
    }
}
