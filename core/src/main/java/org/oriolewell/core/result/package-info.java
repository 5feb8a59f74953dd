/**
 * Processing of one request: its stages and their attempts, the permission to run non-idempotent
 * calls, and exactly one final answer or refusal.
 */
@NullMarked
package org.oriolewell.core.result;

import org.jspecify.annotations.NullMarked;
