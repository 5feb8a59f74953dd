package org.oriolewell.core.config;

/**
 * Configured settings of a firm.
 *
 * @param share fraction of each shared upstream that the firm may claim, greater than 0 and at most
 *     1; the shares of all firms sum to at most 1
 */
public record FirmSpec(double share) {}
