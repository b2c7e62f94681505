package org.wagtaillug.settings;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Puts problems in the order in which a reader of the file meets them, and tells of one place once. */
final class SettingsProblems {
    private SettingsProblems() {}

    private record Place(int line, String path) {}

    static List<SettingsProblem> sorted(Collection<SettingsProblem> problems) {
        Map<Place, SettingsProblem> first = new LinkedHashMap<>();
        for (SettingsProblem problem : problems) {
            first.putIfAbsent(new Place(problem.line(), problem.path()), problem);
        }
        List<SettingsProblem> sorted = new ArrayList<>(first.values());
        sorted.sort(Comparator.comparingInt(SettingsProblem::line));
        return List.copyOf(sorted);
    }
}
