package org.wagtaillug.tool;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;

/** The options common to all commands. One instance collects them, whether they are given before or after the command. */
@Parameters(separators = "=")
final class ConnectionOptions {
    static final String NODE_VARIABLE = "WAGTAILLUG_NODE";
    static final String TOKEN_VARIABLE = "WAGTAILLUG_TOKEN";

    @Parameter(
            names = "--node",
            description = "URL of a node's administration interface. May be repeated; if a node does not respond, the "
                    + "next one is tried. Default: the variable WAGTAILLUG_NODE, a comma-separated list of URLs")
    private List<String> nodes;

    @Parameter(names = "--token", description = "The token for authentication. Default: the variable WAGTAILLUG_TOKEN")
    private String token;

    @Parameter(names = "--trust", description = "PEM file of certificates to trust instead of the system's")
    private String trust;

    @Parameter(names = "--output", description = "The output format: text or json")
    private String output = "text";

    @Parameter(names = "--help", help = true, description = "Show help for the tool or the command")
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
