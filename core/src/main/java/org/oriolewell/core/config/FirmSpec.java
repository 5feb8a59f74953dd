package org.oriolewell.core.config;

/**
 * Settings of a firm.
 *
 * @param share part of each shared upstream that the firm may claim, over 0 and up to 1; the shares
 *     of all firms sum to at most 1
 */
public record FirmSpec(double share) {}
