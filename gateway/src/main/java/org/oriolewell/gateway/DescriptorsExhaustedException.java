package org.oriolewell.gateway;

import java.io.IOException;

/** All descriptors for connections to upstreams are in use; nothing was sent. */
final class DescriptorsExhaustedException extends IOException {
  private static final long serialVersionUID = 1L;

  DescriptorsExhaustedException(int maxConnections) {
    super(
        "all "
            + maxConnections
            + " connections to upstreams that the process's descriptors allow are in use; raise its"
            + " limit of open files");
  }
}
