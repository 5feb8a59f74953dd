package org.oriolewell.core.routing;

/** Hash of the part of a prompt that engines are likely to share in their prefix caches. */
public final class PromptPrefix {
  /**
   * Characters that are hashed. Long enough to tell the instructions of pipelines and workspaces
   * apart, short enough to leave out what is particular to one request.
   */
  public static final int LENGTH = 512;

  private PromptPrefix() {}

  /** Returns the hash of the prompt's first {@link #LENGTH} characters; never 0. */
  public static long hash(String prompt) {
    long hash = 0xcbf29ce484222325L;
    int end = Math.min(LENGTH, prompt.length());
    for (int i = 0; i < end; i++) {
      hash = (hash ^ prompt.charAt(i)) * 0x100000001b3L;
    }
    long mixed = Hashing.mix(hash);
    return mixed == 0 ? 1 : mixed;
  }
}
