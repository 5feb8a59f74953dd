package org.oriolewell.gateway;

import org.oriolewell.runtime.settings.Settings;

/** Factory of the codecs and the store access for the platform that a gateway runs on. */
public interface PlatformAdapter {
  /** Returns the codec of callers' and upstreams' headers. */
  RequestDialect requestDialect();

  /** Returns the codec of calls to the upstreams that run stages. */
  StageDialect stageDialect();

  /** Returns the access to the configuration and the lists of upstreams and gateways. */
  ControlFeed controlFeed(Settings settings, StoreCaller store);
}
