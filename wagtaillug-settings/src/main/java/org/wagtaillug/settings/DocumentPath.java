package org.wagtaillug.settings;

import java.util.regex.Pattern;

/** Places within a document as text, for example {@code stages[2].work}. */
final class DocumentPath {
    static final String ROOT = "";

    private static final Pattern PLAIN = Pattern.compile("[A-Za-z0-9_-]+");

    private DocumentPath() {}

    static String field(String parent, String name) {
        if (!PLAIN.matcher(name).matches()) {
            return parent + "[" + Found.quoted(name) + "]";
        }
        return parent.isEmpty() ? name : parent + "." + name;
    }

    static String item(String parent, int index) {
        return parent + "[" + index + "]";
    }

    /** The place that holds this one; the document itself for a field of it. */
    static String parent(String path) {
        int cut = Math.max(path.lastIndexOf('.'), path.lastIndexOf('['));
        return cut < 0 ? ROOT : path.substring(0, cut);
    }
}
