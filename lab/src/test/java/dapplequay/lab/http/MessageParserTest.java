package dapplequay.lab.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MessageParserTest {
    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.replace("|", "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    private static List<Message> all(MessageParser parser, String text) throws MalformedHttpException {
        parser.append(bytes(text));
        List<Message> messages = new ArrayList<>();
        for (Message next = parser.next(); next != null; next = parser.next()) {
            messages.add(next);
        }
        return messages;
    }

    @Test
    void messagesAreParsedWhereverTheBytesAreSplit() throws MalformedHttpException {
        String text = "POST /a?w=5&x=y HTTP/1.1|Content-Length: 3|X-Call-Id: 9||abcGET /b HTTP/1.1||";
        byte[] whole = bytes(text).array();
        for (int cut = 1; cut < whole.length; cut++) {
            MessageParser parser = new MessageParser(false);
            List<Message> messages = new ArrayList<>();
            for (int[] part : new int[][] {{0, cut}, {cut, whole.length - cut}}) {
                parser.append(ByteBuffer.wrap(whole, part[0], part[1]));
                for (Message next = parser.next(); next != null; next = parser.next()) {
                    messages.add(next);
                }
            }
            assertThat(messages).hasSize(2);
            assertThat(messages.get(0).bodyText()).isEqualTo("abc");
            assertThat(messages.get(0).queryParameter("w")).isEqualTo("5");
            assertThat(messages.get(0).header("x-call-id")).isEqualTo("9");
            assertThat(messages.get(1).target()).isEqualTo("/b");
            assertThat(parser.isMidMessage()).isFalse();
        }
    }

    @ParameterizedTest
    @CsvSource(delimiter = '#', value = {
        "HTTP/1.1 200 OK|Content-Length: 2||ok# 200# ok",
        "HTTP/1.1 204 No Content||# 204# ''",
        "HTTP/1.1 200 OK|Transfer-Encoding: chunked||2|ok|3;x=1|abc|0||# 200# okabc",
        "HTTP/1.0 503 No|Content-Length: 0||# 503# ''"})
    void responsesAreParsedWithTheirBodies(String text, int status, String body) throws MalformedHttpException {
        List<Message> messages = all(new MessageParser(true), text);
        assertThat(messages).hasSize(1);
        assertThat(messages.get(0).status()).isEqualTo(status);
        assertThat(messages.get(0).bodyText()).isEqualTo(body);
    }

    @Test
    void aResponseWithoutLengthEndsWithItsConnection() throws MalformedHttpException {
        MessageParser parser = new MessageParser(true);
        assertThat(all(parser, "HTTP/1.1 200 OK||some")).isEmpty();
        assertThat(parser.finishAtEndOfStream().bodyText()).isEqualTo("some");
        assertThat(new MessageParser(true).finishAtEndOfStream()).isNull();
    }

    @ParameterizedTest
    @CsvSource({"no http||", "HTTP/2 200 OK||", "HTTP/1.1 20 OK||", "HTTP/1.1 200 OK|Content-Length: -1||",
        "HTTP/1.1 200 OK|Content-Length: x||", "HTTP/1.1 200 OK|nothing||",
        "HTTP/1.1 200 OK|Transfer-Encoding: chunked||zz|ok|"})
    void malformedResponsesAreRejected(String text) {
        assertThatThrownBy(() -> all(new MessageParser(true), text)).isInstanceOf(MalformedHttpException.class);
    }
}
