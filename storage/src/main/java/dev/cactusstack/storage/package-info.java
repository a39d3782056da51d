/**
 * What the system needs of the platform: its table service and its host list, and their HTTP
 * clients.
 */
@NullMarked
package dev.cactusstack.storage;

import org.jspecify.annotations.NullMarked;
