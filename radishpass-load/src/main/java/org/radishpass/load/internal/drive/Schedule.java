package org.radishpass.load.internal.drive;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.radishpass.core.cache.PromptBlocks;
import org.radishpass.load.internal.experiment.Experiment;
import org.radishpass.load.internal.experiment.Workload;
import org.radishpass.runtime.http.HttpJson;

/**
 * All requests of an experiment, worked out beforehand: the same for the same seed, whatever the fleet does.
 *
 * @since 0.1.0
 */
public final class Schedule {
    private static final double NANOS = 1_000_000_000;
    private static final int MOST_TURNS = 6;
    private static final int WORDS = 50_000;

    private final Set<Long> seen = new HashSet<>();
    private final Map<String, Chat> chats = new HashMap<>();
    private final Random random;

    private Schedule(long seed) {
        this.random = new Random(seed);
    }

    /**
     * Returns the requests in the order of their times.
     *
     * @param experiment the experiment
     */
    public static List<Arrival> of(Experiment experiment) {
        Schedule schedule = new Schedule(experiment.seed());
        double end = experiment.warmupSeconds() + (double) experiment.seconds();
        List<Timed> times = new ArrayList<>();
        for (Workload workload : experiment.workloads()) {
            double at = 0;
            while (at < end) {
                at += schedule.exponential(workload.rateAt(at));
                if (at < end) {
                    times.add(new Timed(at, workload));
                }
            }
        }
        times.sort(Comparator.comparingDouble(Timed::at));
        List<Arrival> arrivals = new ArrayList<>();
        for (Timed timed : times) {
            arrivals.add(schedule.arrival(arrivals.size(), timed, experiment.seed()));
        }
        return arrivals;
    }

    private Arrival arrival(int index, Timed timed, long seed) {
        long atNanos = (long) (timed.at() * NANOS);
        Workload workload = timed.workload();
        if (workload.orders()) {
            String number = "order-" + seed + '-' + index;
            String body = json(Map.of("number", number, "item", "item-" + random.nextInt(100)));
            return new Arrival(index, atNanos, workload, body, number, 0, 0);
        }
        return chat(index, atNanos, workload);
    }

    private Arrival chat(int index, long atNanos, Workload workload) {
        int slot = random.nextInt(Math.max(1, workload.chats()));
        String key = workload.workspace() + '/' + slot;
        Chat chat = chats.get(key);
        if (chat == null || chat.turns >= MOST_TURNS) {
            int generation = chat == null ? 0 : chat.generation + 1;
            chat = new Chat(key + '/' + generation, generation);
            chat.add("system", prefix(workload));
            chats.put(key, chat);
        }
        String nonce = "n" + index;
        chat.add("user", nonce + ' ' + words(random, workload.turnTokens()));
        chat.turns++;
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("model", String.valueOf(workload.model()));
        body.put("stream", workload.streams());
        body.put("max_tokens", workload.answerTokens());
        body.put("messages", List.copyOf(chat.messages));
        Arrival arrival = prompt(index, atNanos, workload, chat, json(body));
        chat.add("assistant", answer(nonce, workload.answerTokens()));
        return arrival;
    }

    private Arrival prompt(int index, long atNanos, Workload workload, Chat chat, String body) {
        StringBuilder text = new StringBuilder();
        chat.messages.forEach(message -> text.append(message.get("content")).append(' '));
        List<Long> blocks = PromptBlocks.chain(text.toString());
        int reusable = 0;
        for (Long block : blocks) {
            if (!seen.contains(block)) {
                break;
            }
            reusable++;
        }
        seen.addAll(blocks);
        int tokens = (int) text.chars().filter(c -> c == ' ').count();
        return new Arrival(index, atNanos, workload, body, chat.id, tokens, reusable * PromptBlocks.BLOCK_TOKENS);
    }

    private static String prefix(Workload workload) {
        Random own = new Random(workload.workspace().hashCode());
        return "system " + words(own, workload.prefixTokens());
    }

    private static String words(Random source, int count) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < count; i++) {
            text.append('w').append(source.nextInt(WORDS)).append(i + 1 < count ? " " : "");
        }
        return text.toString();
    }

    private static String answer(String nonce, int tokens) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            text.append(nonce).append('-').append(i).append(i + 1 < tokens ? " " : "");
        }
        return text.toString();
    }

    private double exponential(double rate) {
        return -Math.log(1 - random.nextDouble()) / Math.max(rate, 1e-6);
    }

    private static String json(Object value) {
        return new String(HttpJson.bytes(value), java.nio.charset.StandardCharsets.UTF_8);
    }

    private record Timed(double at, Workload workload) {}

    private static final class Chat {
        private final List<Map<String, String>> messages = new ArrayList<>();
        private final String id;
        private final int generation;
        private int turns;

        private Chat(String id, int generation) {
            this.id = id;
            this.generation = generation;
        }

        private void add(String role, String content) {
            messages.add(Map.of("role", role, "content", content));
        }
    }
}
