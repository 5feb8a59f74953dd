/**
 * Open-loop load generator. It sends requests at times that don't depend on the answers, measures
 * from the intended time, and checks the answers against what the stand-ins ran.
 */
@NullMarked
package org.oriolewell.loadtool;

import org.jspecify.annotations.NullMarked;
