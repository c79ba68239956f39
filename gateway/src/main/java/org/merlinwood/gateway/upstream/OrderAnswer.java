package org.merlinwood.gateway.upstream;

/** What became of an order. */
public enum OrderAnswer {
    /** It is being carried out, or holds already. */
    ACCEPTED,
    /** It is not carried out. */
    DECLINED,
    /** It is not carried out, since another holder has used a higher fencing token. */
    FENCED,
    /** It may or may not be carried out. */
    UNKNOWN
}
