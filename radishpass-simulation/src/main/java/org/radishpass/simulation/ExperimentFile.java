package org.radishpass.simulation;

import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.radishpass.routing.retry.RetryAllowance;

/**
 * The contents of an experiment's YAML file. The names of the components are the keys of the file.
 *
 * @param routers the number of routers
 * @param retryRatio the part of the requests that all routers together may send a second time
 * @param retryExtra the requests that all routers together may send a second time beyond that part, in ten seconds
 * @param fromMillis the virtual time from which requests are counted, in milliseconds
 * @param untilMillis the virtual time at which the last requests arrive, in milliseconds
 * @param engines the pools of inference engines
 * @param plain the pools of plain endpoints, which don't run models
 * @param classes the request classes
 * @param faults the faults to inject
 */
record ExperimentFile(
        int routers,
        double retryRatio,
        double retryExtra,
        double fromMillis,
        double untilMillis,
        List<Deployment.EnginePool> engines,
        List<Deployment.PlainPool> plain,
        List<RequestClass> classes,
        List<Fault> faults) {
    private static final long RETRY_WINDOW_MILLIS = 10_000;

    /**
     * Reads an experiment from a YAML file.
     *
     * @param file the YAML file
     * @throws IOException if the file cannot be read, or a field is missing, unknown or of the wrong type
     */
    static ExperimentFile read(Path file) throws IOException {
        return new YAMLMapper()
                .enable(com.fasterxml.jackson.databind.DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
                .readValue(Files.readAllBytes(file), ExperimentFile.class);
    }

    /** Returns the deployment that this file describes. */
    Deployment deployment() {
        Deployment.Builder deployment = Deployment.builder()
                .routers(routers)
                .retryAllowance(new RetryAllowance(retryRatio, retryExtra, RETRY_WINDOW_MILLIS));
        engines.forEach(pool -> deployment.engines(pool.service(), pool.count(), pool.settings()));
        plain.forEach(pool -> deployment.plain(pool.service(), pool.count(), pool.slots(), pool.queue()));
        classes.forEach(deployment::requestClass);
        faults.forEach(deployment::fault);
        return deployment.build();
    }
}
