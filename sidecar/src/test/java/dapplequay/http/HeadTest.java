package dapplequay.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.io.ByteArrayInputStream;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tables of cases for the parsers. In the messages, | stands for CRLF. */
class HeadTest {

    private static byte[] bytes(String text) {
        return text.replace("|", "\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Returns a reader whose stream yields one byte per read, so that a message is split at every position. */
    private static MessageReader byteByByte(String text) {
        return new MessageReader(new ByteArrayInputStream(bytes(text)) {
            @Override
            public synchronized int read(byte[] to, int at, int length) {
                return super.read(to, at, Math.min(1, length));
            }
        });
    }

    @ParameterizedTest
    @CsvSource(delimiter = ';', value = {
        "GET /a HTTP/1.1||; GET; /a",
        "POST /a/b?c=d HTTP/1.1|Host: h|Content-Length: 3||xyz; POST; /a/b?c=d",
        "GET / HTTP/1.0|A:b|A:b||; GET; /",
    })
    void requestHeadsAreParsed(String text, String method, String target) throws Exception {
        Head head = byteByByte(text).readRequestHead();
        assertThat(head.startLine[0]).isEqualTo(method);
        assertThat(head.startLine[1]).isEqualTo(target);
    }

    @ParameterizedTest
    @CsvSource(delimiter = ';', value = {
        "GET /a||; 400", "GET  /a HTTP/1.1||; 400", "GET a HTTP/1.1||; 400", "G@T /a HTTP/1.1||; 400",
        "GET /a HTTP/2.0||; 505", "GET /a FTP/1.1||; 400", "GET /a HTTP/1.1|no colon||; 400",
        "GET /a HTTP/1.1|A : b||; 400", "GET /a HTTP/1.1| folded: x||; 400", "GET /a HTTP/1.1|: x||; 400",
        "GET /a HTTP/1.1|A: b\u0001||; 400",
    })
    void invalidRequestHeadsAreRejectedWithAStatus(String text, int status) {
        BadMessageException exception = catchThrowableOfType(BadMessageException.class,
                () -> byteByByte(text).readRequestHead());
        assertThat(exception).as(text).isNotNull();
        assertThat(exception.status).isEqualTo(status);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '~', value = {
        "Content-Length: 3||abcdef~abc", "Content-Length: 0||x~''", "Host: h||~''",
        "Content-Length: 3|Content-Length: 3||abc~abc",
        "Transfer-Encoding: chunked||2|ab|1;x=y|c|0||~abc",
        "Transfer-Encoding: chunked||A|0123456789|0|Trailer: t||~0123456789",
    })
    void requestBodiesEndWhereTheirFramingSays(String text, String body) throws Exception {
        MessageReader reader = byteByByte("POST / HTTP/1.1|" + text);
        Head head = reader.readRequestHead();
        assertThat(new String(reader.readRequestBody(head), StandardCharsets.ISO_8859_1)).isEqualTo(body);
    }

    @ParameterizedTest
    @CsvSource(delimiter = ';', value = {
        "Content-Length: -1||; 400", "Content-Length: 1x||; 400", "Content-Length: 65537||; 413",
        "Content-Length: 99999999999999999999||; 400", "Content-Length: 1|Content-Length: 2||ab; 400",
        "Content-Length: 3|Transfer-Encoding: chunked||0||; 400", "Transfer-Encoding: gzip||; 400",
        "Transfer-Encoding: chunked||zz|; 400", "Transfer-Encoding: chunked||10001|; 413",
        "Transfer-Encoding: chunked||1|abc|; 400",
    })
    void invalidFramingIsRejected(String text, int status) throws Exception {
        MessageReader reader = byteByByte("POST / HTTP/1.1|" + text);
        Head head = reader.readRequestHead();
        BadMessageException exception = catchThrowableOfType(BadMessageException.class,
                () -> reader.readRequestBody(head));
        assertThat(exception).as(text).isNotNull();
        assertThat(exception.status).isEqualTo(status);
    }

    @ParameterizedTest
    @CsvSource(delimiter = ';', value = {
        "HTTP/1.1 200 OK|Content-Length: 2||ab; 200; ab", "HTTP/1.1 200|Content-Length: 2||ab; 200; ab",
        "HTTP/1.1 100 Continue||HTTP/1.1 503 No|Content-Length: 0||; 503; ''",
        "HTTP/1.0 200 OK||to the end; 200; to the end", "HTTP/1.1 204 None||; 204; ''",
        "HTTP/1.1 200 OK|Transfer-Encoding: chunked||2|ab|0||; 200; ab",
    })
    void responsesAreParsed(String text, String status, String body) throws Exception {
        MessageReader reader = byteByByte(text);
        Head head = reader.readResponseHead();
        assertThat(head.startLine[1]).isEqualTo(status);
        assertThat(new String(reader.readResponseBody(head), StandardCharsets.ISO_8859_1)).isEqualTo(body);
    }

    @ParameterizedTest
    @CsvSource({"'SSH-2.0-x||'", "'HTTP/1.1 abc||'", "'HTTP/1.1 101 Up||'", "'HTTP/1.1 999 x||'"})
    void invalidResponsesAreRejected(String text) {
        assertThat(catchThrowableOfType(BadMessageException.class, () -> byteByByte(text).readResponseHead()))
                .isNotNull();
    }

    @ParameterizedTest
    @CsvSource({"9000,431", "120000,431"})
    void headsOverTheSizeLimitAreRejected(int length, int status) {
        String text = "GET /" + "x".repeat(length) + " HTTP/1.1||";
        InputStream whole = new ByteArrayInputStream(bytes(text));
        for (MessageReader reader : new MessageReader[] {byteByByte(text), new MessageReader(whole)}) {
            BadMessageException exception = catchThrowableOfType(BadMessageException.class, reader::readRequestHead);
            assertThat(exception).isNotNull();
            assertThat(exception.status).isEqualTo(status);
        }
    }
}
