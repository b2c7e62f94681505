package org.wagtaillug.logging;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.List;
import java.util.Map;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/** One JSON object a line: time, level, logger, thread, and a message or the fields of {@link LogFields}. */
final class JsonLineFormatter extends Formatter {
    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSS'Z'").withZone(ZoneOffset.UTC);

    private final JsonFactory json = new JsonFactory();

    @Override
    public String format(LogRecord line) {
        StringWriter text = new StringWriter();
        try (JsonGenerator object = json.createGenerator(text)) {
            object.writeStartObject();
            object.writeStringField("time", TIME.format(line.getInstant()));
            object.writeStringField("level", levelName(line.getLevel()));
            object.writeStringField("logger", line.getLoggerName());
            object.writeStringField("thread", Thread.currentThread().getName());
            writeContent(line, object);
            if (line.getThrown() != null) {
                object.writeStringField("fault", trace(line.getThrown()));
            }
            object.writeEndObject();
        } catch (IOException impossible) {
            throw new UncheckedIOException("a text in memory is always writable", impossible);
        }
        return text.append('\n').toString();
    }

    private void writeContent(LogRecord line, JsonGenerator object) throws IOException {
        Object[] parameters = line.getParameters();
        if (parameters == null || parameters.length != 1 || !(parameters[0] instanceof LogFields fields)) {
            object.writeStringField("message", formatMessage(line));
            return;
        }
        for (Map.Entry<String, String> field : fields.texts().entrySet()) {
            object.writeStringField(field.getKey(), field.getValue());
        }
        for (Map.Entry<String, List<String>> field : fields.lists().entrySet()) {
            object.writeArrayFieldStart(field.getKey());
            for (String value : field.getValue()) {
                object.writeString(value);
            }
            object.writeEndArray();
        }
    }

    /** The names of {@code System.Logger}, whose callers know no others. */
    private static String levelName(Level level) {
        if (level.intValue() >= Level.SEVERE.intValue()) {
            return System.Logger.Level.ERROR.name();
        }
        if (level.intValue() >= Level.WARNING.intValue()) {
            return System.Logger.Level.WARNING.name();
        }
        return level.intValue() >= Level.INFO.intValue()
                ? System.Logger.Level.INFO.name()
                : System.Logger.Level.DEBUG.name();
    }

    private static String trace(Throwable fault) {
        StringWriter text = new StringWriter();
        fault.printStackTrace(new PrintWriter(text));
        return text.toString();
    }
}
