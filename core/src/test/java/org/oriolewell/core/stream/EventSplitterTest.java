package org.oriolewell.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against incomplete events that reach a caller, and against lost event ids. */
class EventSplitterTest {
  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void eventsAreCompleteHoweverTheirBytesAreDivided() {
    String text = "id: 1\ndata: a\n\nx-version: 2\r\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c";
    EventSplitter splitter = EventSplitter.create();
    List<EventSplitter.Event> events = new ArrayList<>();
    for (byte b : bytes(text)) {
      events.addAll(splitter.add(new byte[] {b}));
    }

    assertThat(events).extracting(EventSplitter.Event::id).containsExactly("1", "2");
    assertThat(new String(events.get(0).bytes(), StandardCharsets.UTF_8))
        .isEqualTo("id: 1\ndata: a\n\n");
    assertThat(splitter.midEvent()).isTrue();
    assertThat(splitter.add(bytes("\n\n"))).hasSize(1);
    assertThat(splitter.midEvent()).isFalse();
  }

  @Test
  void eventWithoutIdHasNone() {
    assertThat(EventSplitter.create().add(bytes("data: a\n\n")).get(0).id()).isNull();
  }
}
