package org.wagtaillug.tool;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;

/** The options that every command takes; one object holds them, whether they stand before or after the command. */
@Parameters(separators = "=")
final class ConnectionOptions {
    static final String NODE_VARIABLE = "WAGTAILLUG_NODE";
    static final String TOKEN_VARIABLE = "WAGTAILLUG_TOKEN";

    @Parameter(
            names = "--node",
            description = "URL of a node's administration interface; may be repeated, the next one is tried when one "
                    + "does not answer. Default: the variable WAGTAILLUG_NODE, URLs with commas between")
    private List<String> nodes;

    @Parameter(names = "--token", description = "The token to show. Default: the variable WAGTAILLUG_TOKEN")
    private String token;

    @Parameter(names = "--trust", description = "PEM file of certificates to trust in place of the system's")
    private String trust;

    @Parameter(names = "--output", description = "text or json")
    private String output = "text";

    @Parameter(names = "--help", help = true, description = "Says how to use the tool or the command")
    private boolean help;

    List<String> nodes() {
        return nodes == null ? List.of() : nodes;
    }

    String token() {
        return token;
    }

    String trust() {
        return trust;
    }

    String output() {
        return output;
    }

    boolean help() {
        return help;
    }
}
