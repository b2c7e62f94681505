package org.wagtaillug.settings;

import java.util.regex.Pattern;

/** Paths of values within a document, for example {@code stages[2].work}. */
final class DocumentPath {
    static final String ROOT = "";

    private static final Pattern UNQUOTED = Pattern.compile("[A-Za-z0-9_-]+");

    private DocumentPath() {}

    static String field(String parent, String name) {
        if (!UNQUOTED.matcher(name).matches()) {
            return parent + "[" + ValueText.quoted(name) + "]";
        }
        return parent.isEmpty() ? name : parent + "." + name;
    }

    static String item(String parent, int index) {
        return parent + "[" + index + "]";
    }

    /** Returns the enclosing path; {@link #ROOT} for a top-level field. */
    static String parent(String path) {
        int end = Math.max(path.lastIndexOf('.'), path.lastIndexOf('['));
        return end < 0 ? ROOT : path.substring(0, end);
    }
}
