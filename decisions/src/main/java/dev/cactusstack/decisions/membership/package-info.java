/**
 * Group membership of the entry hosts, based on SWIM (Das, Gupta and Motivala, 2002): randomized
 * probing, indirect probes, suspicion with refutation, and updates piggybacked on probe messages.
 */
@NullMarked
package dev.cactusstack.decisions.membership;

import org.jspecify.annotations.NullMarked;
