package org.wagtaillug.settings;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Sorts problems by line and keeps only the first problem of each path. */
final class SettingsProblems {
    private SettingsProblems() {}

    private record Location(int line, String path) {}

    static List<SettingsProblem> sorted(Collection<SettingsProblem> problems) {
        Map<Location, SettingsProblem> first = new LinkedHashMap<>();
        for (SettingsProblem problem : problems) {
            first.putIfAbsent(new Location(problem.line(), problem.path()), problem);
        }
        List<SettingsProblem> sorted = new ArrayList<>(first.values());
        sorted.sort(Comparator.comparingInt(SettingsProblem::line));
        return List.copyOf(sorted);
    }
}
