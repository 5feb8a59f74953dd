package org.oriolewell.standins;

/**
 * Text of generated tokens. It depends on the prompt and the position only, so that a stream
 * resumed at a position, at any engine, continues with the same tokens.
 */
public final class TokenText {
  private static final String[] SYLLABLES = {
    "ar", "be", "can", "dwr", "ed", "fa", "gol", "hir", "in", "lan", "mor", "ne", "or", "pont",
    "rhe", "sa"
  };

  private TokenText() {}

  /** Returns the token at a position, counted from 0. */
  public static String at(String prompt, int position) {
    return at(Hashes.of(prompt), position);
  }

  static String at(long promptHash, int position) {
    long hash = Hashes.mix(promptHash + position);
    return SYLLABLES[(int) (hash & 15)] + SYLLABLES[(int) (hash >>> 4 & 15)] + " ";
  }

  /** Returns the text of the first tokens. */
  public static String text(String prompt, int count) {
    StringBuilder text = new StringBuilder();
    long hash = Hashes.of(prompt);
    for (int position = 0; position < count; position++) {
      text.append(at(hash, position));
    }
    return text.toString();
  }
}
