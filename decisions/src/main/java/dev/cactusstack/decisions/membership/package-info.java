/**
 * Agrees on which entry hosts are alive, after SWIM (Das, Gupta and Motivala, 2002): randomized
 * probing, indirect probes, suspicion with refutation, and updates carried on probe messages.
 */
@NullMarked
package dev.cactusstack.decisions.membership;

import org.jspecify.annotations.NullMarked;
