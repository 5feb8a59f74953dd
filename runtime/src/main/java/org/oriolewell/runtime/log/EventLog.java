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
 * Writes log events, each as a JSON object on one line.
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

  /**
   * Returns the event log of a component.
   *
   * @param component name of the component, written as a field of each event
   * @param clock clock for the time of the events
   */
  public static EventLog of(String component, InstantSource clock) {
    return new EventLog(component, clock);
  }

  /** Starts the log line of an event; it is written by {@link Line#write()}. */
  public Line event(LogEvent event) {
    return new Line(event);
  }

  /** Returns whether an event's level is enabled, to avoid computing fields that aren't written. */
  public boolean enabled(LogEvent event) {
    return LOGGER.at(event.level()).isEnabled();
  }

  /** The log line of an event; fields are added until it is written. */
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

    /** Adds a field to the line; a null value adds nothing. */
    public Line with(String name, @Nullable Object value) {
      if (value != null) {
        fields.put(
            name, value instanceof Number || value instanceof Boolean ? value : value.toString());
      }
      return this;
    }

    /** Adds the exception that caused the event as the field {@code cause}. */
    public Line cause(Throwable cause) {
      fields.put("cause", cause.toString());
      return this;
    }

    /** Writes the line if the event's level is enabled. */
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
      StringWriter jsonText = new StringWriter();
      try (JsonGenerator generator = JSON.createGenerator(jsonText)) {
        generator.writeStartObject();
        for (Map.Entry<String, Object> field : fields.entrySet()) {
          generator.writeFieldName(field.getKey());
          writeValue(generator, field.getValue());
        }
        generator.writeEndObject();
      }
      return jsonText.toString();
    }
  }

  private static void writeValue(JsonGenerator generator, Object value) throws IOException {
    if (value instanceof Boolean booleanValue) {
      generator.writeBoolean(booleanValue);
    } else if (value instanceof Integer numberValue) {
      generator.writeNumber(numberValue);
    } else if (value instanceof Long numberValue) {
      generator.writeNumber(numberValue);
    } else if (value instanceof Number numberValue) {
      generator.writeNumber(numberValue.doubleValue());
    } else {
      generator.writeString(value.toString());
    }
  }
}
