import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A listener with one thread for each connection, on a free port of the loopback address. */
final class Server {
  /** One accepted connection. */
  static final class Connection {
    final Socket socket;

    Connection(Socket socket) {
      this.socket = socket;
    }

    void write(byte[] bytes) throws IOException {
      OutputStream out = socket.getOutputStream();
      out.write(bytes);
      out.flush();
    }
  }

  /** Answers a request by writing to its connection. */
  interface Handler {
    void handle(Http.Message request, Connection connection) throws Exception;
  }

  final ServerSocket listener;

  Server(Handler handler) throws IOException {
    this(0, handler);
  }

  Server(int port, Handler handler) throws IOException {
    listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 512);
    start("accept", () -> accept(handler));
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  private void accept(Handler handler) {
    try {
      while (true) {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        start("connection", () -> serve(socket, handler));
      }
    } catch (IOException e) {
      // The listener was closed.
    }
  }

  private static void serve(Socket socket, Handler handler) {
    try (socket) {
      Connection connection = new Connection(socket);
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      for (Http.Message request = Http.request(in); request != null; request = Http.request(in)) {
        handler.handle(request, connection);
      }
    } catch (Exception e) {
      // The peer has closed or reset the connection.
    }
  }

  static Thread start(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
