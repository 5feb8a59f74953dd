package org.oriolewell.core.routing;

/** Hash of the start of a prompt, for which engines are likely to hold cached state. */
public final class PromptPrefix {
  /**
   * Number of characters that are hashed: long enough to tell the instructions of pipelines and
   * workspaces apart, short enough to exclude what is specific to one request.
   */
  public static final int LENGTH = 512;

  private PromptPrefix() {}

  /** Returns the hash of the prompt's first {@link #LENGTH} characters; never 0. */
  public static long hash(String prompt) {
    long hash = 0xcbf29ce484222325L;
    int hashedLength = Math.min(LENGTH, prompt.length());
    for (int i = 0; i < hashedLength; i++) {
      hash = (hash ^ prompt.charAt(i)) * 0x100000001b3L;
    }
    long mixed = Hashing.mix(hash);
    return mixed == 0 ? 1 : mixed;
  }
}
