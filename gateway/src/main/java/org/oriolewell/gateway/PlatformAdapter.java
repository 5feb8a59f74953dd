package org.oriolewell.gateway;

import org.oriolewell.runtime.settings.Settings;

/** Everything that a gateway needs to speak with one kind of platform. */
public interface PlatformAdapter {
  /** Returns the translation of callers' and upstreams' headers. */
  RequestDialect requestDialect();

  /** Returns the translation of calls to stages. */
  StageDialect stageDialect();

  /** Returns the configuration and the lists of upstreams and gateways. */
  ControlFeed controlFeed(Settings settings, StoreCaller store);
}
