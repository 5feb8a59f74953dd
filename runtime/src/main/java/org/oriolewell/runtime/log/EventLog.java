package org.oriolewell.runtime.log;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.StringWriter;
import java.time.InstantSource;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Writes log events as one JSON object a line.
 *
 * <p>Example: {@code log.event(EntryEvent.STARTED).with("address", address).write();}
 */
public final class EventLog {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final JsonFactory JSON = new JsonFactory();

  private final String component;
  private final InstantSource clock;

  private EventLog(String component, InstantSource clock) {
    this.component = component;
    this.clock = clock;
  }

  /** Returns a log for a program's component. */
  public static EventLog of(String component, InstantSource clock) {
    return new EventLog(component, clock);
  }

  /** Starts a line for an event. Nothing is written before {@link Line#write()}. */
  public Line event(LogEvent event) {
    return new Line(event);
  }

  /** Returns whether an event of this level would be written, to skip costly fields. */
  public boolean enabled(LogEvent event) {
    return LOGGER.at(event.level()).isEnabled();
  }

  /** A log line under construction. */
  public final class Line {
    private final LogEvent event;
    private final Map<String, Object> fields = new LinkedHashMap<>();

    private Line(LogEvent event) {
      this.event = event;
      fields.put("time", clock.instant().toString());
      fields.put("level", event.level().getName());
      fields.put("event", event.id());
      fields.put("name", event.name());
      fields.put("component", component);
    }

    /** Adds a field; a null value is left out. */
    public Line with(String name, @Nullable Object value) {
      if (value != null) {
        fields.put(
            name, value instanceof Number || value instanceof Boolean ? value : value.toString());
      }
      return this;
    }

    /** Adds the cause of a problem. */
    public Line cause(Throwable cause) {
      fields.put("cause", cause.toString());
      return this;
    }

    /** Writes the line. */
    public void write() {
      if (!enabled(event)) {
        return;
      }
      try {
        LOGGER.at(event.level()).log("%s", json());
      } catch (IOException e) {
        LOGGER.atSevere().withCause(e).log("%s could not be written", event.id());
      }
    }

    private String json() throws IOException {
      StringWriter text = new StringWriter();
      try (JsonGenerator out = JSON.createGenerator(text)) {
        out.writeStartObject();
        for (Map.Entry<String, Object> field : fields.entrySet()) {
          out.writeFieldName(field.getKey());
          writeValue(out, field.getValue());
        }
        out.writeEndObject();
      }
      return text.toString();
    }
  }

  private static void writeValue(JsonGenerator out, Object value) throws IOException {
    if (value instanceof Boolean flag) {
      out.writeBoolean(flag);
    } else if (value instanceof Integer number) {
      out.writeNumber(number);
    } else if (value instanceof Long number) {
      out.writeNumber(number);
    } else if (value instanceof Number number) {
      out.writeNumber(number.doubleValue());
    } else {
      out.writeString(value.toString());
    }
  }
}
