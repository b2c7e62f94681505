package org.wagtaillug.tool;

import java.util.List;
import java.util.Map;

/** Generates a bash completion script for commands, their fixed arguments, long options and file names. */
final class BashCompletion {
    private BashCompletion() {}

    static String script(Map<String, List<String>> optionsByCommand) {
        StringBuilder cases = new StringBuilder();
        for (Map.Entry<String, List<String>> command : optionsByCommand.entrySet()) {
            String words = (fixedWords(command.getKey()) + " " + String.join(" ", command.getValue())).strip();
            cases.append("        ")
                    .append(command.getKey())
                    .append(") words=\"")
                    .append(words)
                    .append("\" ;;\n");
        }
        return """
                _wagtaillugctl() {
                    local current=${COMP_WORDS[COMP_CWORD]} command="" words="" word
                    for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
                        case " @COMMANDS@ " in *" $word "*) command=$word; break ;; esac
                    done
                    case "$command" in
                        "") words="@COMMANDS@ --help --node --output --token --trust --version" ;;
                @CASES@    esac
                    COMPREPLY=($(compgen -W "$words" -- "$current"))
                }
                complete -o default -F _wagtaillugctl wagtaillugctl
                """.replace("@COMMANDS@", String.join(" ", optionsByCommand.keySet()))
                .replace("@CASES@", cases);
    }

    private static String fixedWords(String command) {
        return switch (command) {
            case "domain", "vm" -> "out back";
            case "config" -> "digest";
            case "completion" -> "bash";
            default -> "";
        };
    }
}
