package org.oriolewell.core.config;

/**
 * A process that takes part in the distribution of the configuration.
 *
 * @param name name by which all processes know it, such as its host name
 * @param region region of the process
 */
public record ConfigMember(String name, String region) {}
