package dapplequay.management;

import static org.assertj.core.api.Assertions.assertThat;

import dapplequay.management.RequestCounts.End;
import java.util.List;
import org.junit.jupiter.api.Test;

class MetricsTextTest {
    @Test
    void metricsHaveNamesTypesAndLabels() {
        RequestCounts counts = new RequestCounts();
        counts.addClasses(List.of("order", "a\"b\\"));
        for (End end : List.of(End.FULFILLED, End.FULFILLED, End.THROTTLED, End.FAULTED)) {
            counts.accepted();
            counts.ended("order", end);
        }
        counts.accepted();
        counts.relayed();
        String text = MetricsText.render(counts.read(), new MetricsText.ProcessValues(7, 2, 3, 1, 4));
        assertThat(text.lines()).contains("svc_fulfilled_total{priority=\"order\"} 2",
                "svc_throttled_total{priority=\"order\"} 1", "svc_faulted_total{priority=\"order\"} 1",
                "svc_fulfilled_total{priority=\"a\\\"b\\\\\"} 0", "svc_relayed_total 1", "svc_open_requests 1",
                "svc_registry_entries 7", "svc_out_of_rotation 2", "svc_cfg_accepted_total 3",
                "svc_cfg_invalid_total 1", "# TYPE svc_fulfilled_total counter", "# TYPE svc_open_requests gauge");
        assertThat(text).endsWith("\n");
    }

    @Test
    void discoveryMetricsHaveLabelsAndCumulativeBuckets() {
        DiscoveryMetrics figures = new DiscoveryMetrics();
        figures.countTransition("draining");
        figures.countTransition("draining");
        figures.countStoppedSend("removed");
        figures.recordUnconfirmed(100_000);
        figures.recordLastSend(0);
        figures.recordLastSend(60_000);
        figures.recordLastSend(9_000_000);
        assertThat(figures.text().lines()).contains("svc_server_transitions_total{to=\"draining\"} 2",
                "svc_stopped_sends_total{reason=\"removed\"} 1", "# TYPE svc_unconfirmed_seconds histogram",
                "svc_unconfirmed_seconds_bucket{le=\"0.05\"} 0", "svc_unconfirmed_seconds_bucket{le=\"0.1\"} 1",
                "svc_last_send_after_news_seconds_bucket{le=\"0.0\"} 1",
                "svc_last_send_after_news_seconds_bucket{le=\"0.1\"} 2",
                "svc_last_send_after_news_seconds_bucket{le=\"+Inf\"} 3", "svc_last_send_after_news_seconds_count 3",
                "svc_last_send_after_news_seconds_sum 9.06");
    }

    /** In each reading, the accepted requests equal the ended and the open ones, while other threads count. */
    @Test
    void readingsAreConsistentDuringConcurrentUpdates() throws InterruptedException {
        RequestCounts counts = new RequestCounts();
        Thread[] threads = new Thread[4];
        for (int i = 0; i < threads.length; i++) {
            String name = "c" + i % 2;
            threads[i] = new Thread(() -> {
                for (int n = 0; n < 20_000; n++) {
                    counts.accepted();
                    counts.ended(name, End.values()[n % 3]);
                }
            });
            threads[i].start();
        }
        RequestCounts.Reading reading;
        do {
            reading = counts.read();
            long ended = reading.ended().values().stream().flatMapToLong(java.util.Arrays::stream).sum();
            assertThat(reading.accepted()).isEqualTo(ended + reading.open());
        } while (reading.accepted() < 80_000);
        for (Thread thread : threads) {
            thread.join();
        }
        assertThat(counts.read().open()).isZero();
    }
}
