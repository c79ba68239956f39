package org.merlinwood.standin.engine;

import java.util.List;
import org.merlinwood.core.result.Failure;
import org.merlinwood.http.HttpHeader;
import org.merlinwood.http.HttpListener;

/** Discards a response. */
final class IgnoringListener implements HttpListener {

    @Override
    public void onHead(int status, List<HttpHeader> headers) {}

    @Override
    public void onBytes(byte[] bytes) {}

    @Override
    public void onEnd() {}

    @Override
    public void onFailure(Failure failure) {}
}
