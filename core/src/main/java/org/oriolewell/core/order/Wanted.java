package org.oriolewell.core.order;

import java.util.Set;

/**
 * What the configuration wants of an engine.
 *
 * @param role wanted role; empty to leave it as it is
 * @param models wanted models; empty to leave the models as they are, so that settings without
 *     models, such as a drain, unload nothing
 */
public record Wanted(String role, Set<Model> models) {
  /** Wants nothing. */
  public static final Wanted NOTHING = new Wanted("", Set.of());

  /** Copies the set. */
  public Wanted {
    models = Set.copyOf(models);
  }
}
