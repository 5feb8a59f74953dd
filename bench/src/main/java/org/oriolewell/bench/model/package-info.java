/**
 * A deterministic queue model that drives the real routing, admission, retry and deadline code in
 * virtual time. Its figures compare policies; they are not measurements of processes.
 */
@NullMarked
package org.oriolewell.bench.model;

import org.jspecify.annotations.NullMarked;
