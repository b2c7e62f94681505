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

/** Formats a log record as a JSON object on one line: time, level, logger, thread, and a message or {@link LogFields}. */
final class JsonLineFormatter extends Formatter {
    private static final DateTimeFormatter TIME_FORMAT =
            DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSS'Z'").withZone(ZoneOffset.UTC);

    private final JsonFactory json = new JsonFactory();

    @Override
    public String format(LogRecord logRecord) {
        StringWriter text = new StringWriter();
        try (JsonGenerator generator = json.createGenerator(text)) {
            generator.writeStartObject();
            generator.writeStringField("time", TIME_FORMAT.format(logRecord.getInstant()));
            generator.writeStringField("level", levelName(logRecord.getLevel()));
            generator.writeStringField("logger", logRecord.getLoggerName());
            generator.writeStringField("thread", Thread.currentThread().getName());
            writeContent(logRecord, generator);
            if (logRecord.getThrown() != null) {
                generator.writeStringField("fault", stackTrace(logRecord.getThrown()));
            }
            generator.writeEndObject();
        } catch (IOException unexpected) {
            throw new UncheckedIOException("writing to memory failed", unexpected);
        }
        return text.append('\n').toString();
    }

    private void writeContent(LogRecord logRecord, JsonGenerator generator) throws IOException {
        Object[] parameters = logRecord.getParameters();
        if (parameters == null || parameters.length != 1 || !(parameters[0] instanceof LogFields fields)) {
            generator.writeStringField("message", formatMessage(logRecord));
            return;
        }
        for (Map.Entry<String, String> field : fields.texts().entrySet()) {
            generator.writeStringField(field.getKey(), field.getValue());
        }
        for (Map.Entry<String, List<String>> field : fields.lists().entrySet()) {
            generator.writeArrayFieldStart(field.getKey());
            for (String value : field.getValue()) {
                generator.writeString(value);
            }
            generator.writeEndArray();
        }
    }

    /** Returns the level name of {@code System.Logger}, which is the API that callers use. */
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

    private static String stackTrace(Throwable thrown) {
        StringWriter text = new StringWriter();
        thrown.printStackTrace(new PrintWriter(text));
        return text.toString();
    }
}
