package org.wagtaillug.settings;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Puts problems in the order in which a reader of the file meets them. */
final class SettingsProblems {
    private SettingsProblems() {}

    static List<SettingsProblem> sorted(Collection<SettingsProblem> problems) {
        List<SettingsProblem> sorted = new ArrayList<>(problems);
        sorted.sort(Comparator.comparingInt(SettingsProblem::line));
        return List.copyOf(sorted);
    }
}
