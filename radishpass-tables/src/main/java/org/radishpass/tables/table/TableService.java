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
     * Carries out a transaction. The result never ends in an error: what went wrong is in its type.
     *
     * @param transaction the transaction
     */
    Mono<TableResult> transact(TableTransaction transaction);
}
