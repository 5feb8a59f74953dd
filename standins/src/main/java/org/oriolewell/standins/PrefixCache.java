package org.oriolewell.standins;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * A cache of prompt prefixes in blocks. A block is identified by the hash of the prompt from its
 * start to the end of the block, so a block is only found after all earlier ones. The least
 * recently used block is evicted.
 */
final class PrefixCache {
  /** Length of a block in bytes of the prompt's UTF-8 form. */
  static final int BLOCK_BYTES = 64;

  /** Bytes of the prompt that count as one token. */
  static final int TOKEN_BYTES = 4;

  private final int capacity;
  private final BiConsumer<String, Long> listener;
  private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

  /**
   * Creates an empty cache.
   *
   * @param capacity number of blocks
   * @param listener told of each {@code stored} and {@code evicted} block
   */
  PrefixCache(int capacity, BiConsumer<String, Long> listener) {
    this.capacity = capacity;
    this.listener = listener;
  }

  /** Returns the hashes of a prompt's whole blocks. */
  static List<Long> blocks(String prompt) {
    byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
    List<Long> hashes = new ArrayList<>();
    long hash = Hashes.empty();
    for (int from = 0; from + BLOCK_BYTES <= bytes.length; from += BLOCK_BYTES) {
      hash = Hashes.extend(hash, bytes, from, from + BLOCK_BYTES);
      hashes.add(hash);
    }
    return hashes;
  }

  /** Returns the number of tokens of a prompt. */
  static int tokens(String prompt) {
    int bytes = prompt.getBytes(StandardCharsets.UTF_8).length;
    return (bytes + TOKEN_BYTES - 1) / TOKEN_BYTES;
  }

  /** Adds a prompt and returns how many of its tokens were already held. */
  int use(String prompt) {
    int held = 0;
    boolean leading = true;
    for (long block : blocks(prompt)) {
      leading = leading && blocks.get(block) != null;
      if (leading) {
        held++;
      } else if (capacity > 0) {
        if (blocks.put(block, true) == null) {
          listener.accept("stored", block);
        }
        evict();
      }
    }
    return held * BLOCK_BYTES / TOKEN_BYTES;
  }

  private void evict() {
    Iterator<Long> oldest = blocks.keySet().iterator();
    while (blocks.size() > capacity) {
      long block = oldest.next();
      oldest.remove();
      listener.accept("evicted", block);
    }
  }

  /** Removes all blocks, as the unloading of a model does. */
  void clear() {
    blocks.keySet().forEach(block -> listener.accept("evicted", block));
    blocks.clear();
  }

  int size() {
    return blocks.size();
  }
}
