package org.radishpass.tables.table;

import reactor.core.publisher.Mono;

/**
 * The platform's transactional table service.
 *
 * @since 0.1.0
 */
@FunctionalInterface
public interface TableService {
    /**
     * Carries out a transaction. Refusals, timeouts and I/O errors do not fail the {@code Mono}: the type of the result
     * describes them.
     *
     * @param transaction the transaction
     */
    Mono<TableResult> transact(TableTransaction transaction);
}
